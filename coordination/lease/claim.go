package lease

// A Claim is one record of a lease chain; it acquires or renews the lease. Previous is the offset
// of the last record of the scope that the claimant had read, and Horizon the oldest offset
// that the log retained at that time.
type Claim struct {
	ID       string `cbor:"id"       json:"id"`
	Scope    string `cbor:"scope"    json:"scope"`
	Holder   string `cbor:"holder"   json:"holder"`
	Previous uint64 `cbor:"previous" json:"previous"`
	Horizon  uint64 `cbor:"horizon"  json:"horizon"`
}

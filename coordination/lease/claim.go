package lease

// A Claim is one record of a lease chain: it takes the lease or renews it.
// Previous is the offset of the last record of the scope that the claimant has
// seen, and Horizon the oldest offset that the log still held at that time.
type Claim struct {
	ID       string `cbor:"id"       json:"id"`
	Scope    string `cbor:"scope"    json:"scope"`
	Holder   string `cbor:"holder"   json:"holder"`
	Previous uint64 `cbor:"previous" json:"previous"`
	Horizon  uint64 `cbor:"horizon"  json:"horizon"`
}

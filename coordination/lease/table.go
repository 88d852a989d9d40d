package lease

// A Lease is the state of one scope after the record at offset Last. Term is the offset at which
// Holder acquired it.
type Lease struct {
	Scope  string `cbor:"scope"  json:"scope"`
	Holder string `cbor:"holder" json:"holder"`
	Term   uint64 `cbor:"term"   json:"term"`
	Last   uint64 `cbor:"last"   json:"last"`
}

// A Table holds the lease of each scope as the claims give it in log order. The zero Table is
// empty.
type Table struct {
	leases map[string]Lease
}

// Apply applies the claim at offset and returns whether it took effect. It takes effect if the
// claimant had read the last record of the scope, or if retention had removed that record
// before the claim was made.
func (t *Table) Apply(offset uint64, claim Claim) bool {
	current := t.leases[claim.Scope]
	if offset <= current.Last {
		return false
	}
	if current.Last != claim.Previous && current.Last >= claim.Horizon {
		return false
	}
	next := Lease{Scope: claim.Scope, Holder: claim.Holder, Term: offset, Last: offset}
	if current.Holder == claim.Holder && current.Last == claim.Previous {
		next.Term = current.Term
	}
	if t.leases == nil {
		t.leases = make(map[string]Lease)
	}
	t.leases[claim.Scope] = next
	return true
}

// Get returns the lease of scope, or the zero Lease if there never was a holder.
func (t *Table) Get(scope string) Lease { return t.leases[scope] }

// Package host identifies the machines that the system runs on and the incarnations
// of the processes on them.
package host

import (
	"cmp"
	"net/netip"
)

// Name identifies a host within the whole deployment, for example "mtl-a-entry-1".
type Name string

// DataCentre names a data centre, for example "mtl-a".
type DataCentre string

// Region names a group of data centres that are partitioned from others together.
type Region string

// Incarnation numbers the incarnations of a process on a host. It increases with each
// restart, so that a message meant for an earlier incarnation can be recognised.
// Zero means that the incarnation is not known.
type Incarnation uint64

// Role is the part that a process plays in the system.
type Role string

// The roles of a process.
const (
	Entry   Role = "entry"
	Sidecar Role = "sidecar"
)

// Identity is what a process sends about itself to the other processes of the system.
type Identity struct {
	Name        Name           `cbor:"1,keyasint" json:"name"`
	Role        Role           `cbor:"2,keyasint" json:"role"`
	DataCentre  DataCentre     `cbor:"3,keyasint" json:"dataCentre"`
	Region      Region         `cbor:"4,keyasint,omitempty" json:"region,omitempty"`
	Incarnation Incarnation    `cbor:"5,keyasint" json:"incarnation"`
	Address     netip.AddrPort `cbor:"6,keyasint" json:"address"`
}

// Compare orders identities by name, then by incarnation.
func (i Identity) Compare(other Identity) int {
	if c := cmp.Compare(i.Name, other.Name); c != 0 {
		return c
	}
	return cmp.Compare(i.Incarnation, other.Incarnation)
}

package fuchsiaspoke

import "encoding/json"

// DocumentKind says what the items of a document are.
type DocumentKind string

// The kinds of document that operators and the platform publish.
const (
	VMsDocument       DocumentKind = "vms"
	UpstreamsDocument DocumentKind = "upstreams"
	ProfilesDocument  DocumentKind = "profiles"
	AccountsDocument  DocumentKind = "client_accounts"
	KeysDocument      DocumentKind = "keys"
)

// Document is one published value with the revision that the platform gave it.
type Document struct {
	Name     string          `json:"name" cbor:"1,keyasint"`
	Revision int64           `json:"revision" cbor:"2,keyasint"`
	Body     json.RawMessage `json:"body" cbor:"3,keyasint"`
}

package fuchsiaspoke

import "encoding/json"

// DocumentKind is the type of the items in a document.
type DocumentKind string

// The kinds of documents that operators and the platform publish.
const (
	VMsDocument       DocumentKind = "vms"
	UpstreamsDocument DocumentKind = "upstreams"
	ProfilesDocument  DocumentKind = "profiles"
	AccountsDocument  DocumentKind = "client_accounts"
	KeysDocument      DocumentKind = "keys"
)

// Document is a published configuration document with the revision assigned by the platform.
type Document struct {
	Name     string          `json:"name" cbor:"1,keyasint"`
	Revision int64           `json:"revision" cbor:"2,keyasint"`
	Body     json.RawMessage `json:"body" cbor:"3,keyasint"`
}

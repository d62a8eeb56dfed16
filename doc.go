// Package fuchsiaspoke defines the value types shared by all packages of the serving layer for LoRA adapters.
//
// Types with cbor tags are exchanged between VMs; types with json tags appear in documents or in the administration API.
package fuchsiaspoke

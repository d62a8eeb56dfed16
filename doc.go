// Package fuchsiaspoke holds the core types of the serving layer: VMs, upstreams, profiles, client accounts and keys.
package fuchsiaspoke

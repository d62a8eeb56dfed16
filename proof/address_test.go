package proof

import "testing"

// A port is free until the VM that it was chosen for listens on it, so it must not be chosen again meanwhile.
func TestNoAddressIsGivenOutTwice(t *testing.T) {
	given := map[string]bool{}
	for range 2000 {
		address := freeTCPAddress(t)
		if given[address] {
			t.Fatalf("%s was given out twice within %d addresses", address, len(given))
		}
		given[address] = true
	}
}

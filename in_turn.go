package fuchsiaspoke

// InTurn returns up to n entries, others with each turn, so that messages of limited size name all of them one after the other.
func InTurn[T any](all []T, turn, n int) []T {
	if len(all) <= n {
		return all
	}
	out := make([]T, 0, n)
	for i := range n {
		out = append(out, all[(turn*n+i)%len(all)])
	}
	return out
}

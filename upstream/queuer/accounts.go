package queuer

// account returns the account with this name and creates it if it does not exist.
func (q *Queuer) account(name string) *account {
	a := q.accounts[name]
	if a == nil {
		a = &account{name: name}
		a.counter.Value = a
		q.accounts[name] = a
	}
	return a
}

// addToCounter adds weighted tokens to the account's counter and restores the order of the active accounts.
func (q *Queuer) addToCounter(a *account, weighted int64) {
	q.counters.Charge(&a.counter, weighted, a.waiting > 0)
}

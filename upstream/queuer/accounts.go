package queuer

// account returns the account with this name and creates it if it does not exist.
func (q *Queuer) account(name string) *account {
	a := q.accounts[name]
	if a == nil {
		a = &account{name: name}
		q.accounts[name] = a
	}
	return a
}

// activate adds the account to the active ones. It lifts the account's counter to the lowest active counter or, if no
// account is active, to the counter of the account that was deactivated last.
func (q *Queuer) activate(a *account) {
	floor := q.lastDeactivatedCounter
	if len(q.active) > 0 {
		floor = q.active[0].counter
	}
	a.counter = max(a.counter, floor)
	a.bypassedTokens = 0
	a.activeIndex = len(q.active)
	q.active = append(q.active, a)
	q.reposition(a)
}

// deactivate removes an account without waiting generations from the active ones.
func (q *Queuer) deactivate(a *account) {
	copy(q.active[a.activeIndex:], q.active[a.activeIndex+1:])
	q.active = q.active[:len(q.active)-1]
	for i := a.activeIndex; i < len(q.active); i++ {
		q.active[i].activeIndex = i
	}
	q.lastDeactivatedCounter = a.counter
}

// addToCounter adds weighted tokens to the account's counter and restores the order of the active accounts.
func (q *Queuer) addToCounter(a *account, weighted int64) {
	a.counter += weighted
	if a.waiting > 0 {
		q.reposition(a)
	}
}

// reposition restores the order of the active accounts after one account's counter changed.
func (q *Queuer) reposition(a *account) {
	for a.activeIndex > 0 && q.active[a.activeIndex-1].counter > a.counter {
		q.swapWithNext(a.activeIndex - 1)
	}
	for a.activeIndex+1 < len(q.active) && q.active[a.activeIndex+1].counter <= a.counter {
		q.swapWithNext(a.activeIndex)
	}
}

// swapWithNext swaps the active accounts at i and i+1.
func (q *Queuer) swapWithNext(i int) {
	q.active[i], q.active[i+1] = q.active[i+1], q.active[i]
	q.active[i].activeIndex = i
	q.active[i+1].activeIndex = i + 1
}

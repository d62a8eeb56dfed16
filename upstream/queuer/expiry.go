package queuer

// expiryHeap is a min-heap of the waiting entries by deadline.
type expiryHeap []*entry

func (h *expiryHeap) push(e *entry) {
	e.expiryIndex = len(*h)
	*h = append(*h, e)
	h.siftUp(e.expiryIndex)
}

func (h *expiryHeap) remove(e *entry) {
	i, last := e.expiryIndex, len(*h)-1
	h.swap(i, last)
	(*h)[last] = nil
	*h = (*h)[:last]
	if i < last {
		h.siftUp(i)
		h.siftDown(i)
	}
}

func (h *expiryHeap) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if (*h)[parent].deadline <= (*h)[i].deadline {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *expiryHeap) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(*h) {
			return
		}
		if child+1 < len(*h) && (*h)[child+1].deadline < (*h)[child].deadline {
			child++
		}
		if (*h)[i].deadline <= (*h)[child].deadline {
			return
		}
		h.swap(i, child)
		i = child
	}
}

func (h *expiryHeap) swap(i, j int) {
	(*h)[i], (*h)[j] = (*h)[j], (*h)[i]
	(*h)[i].expiryIndex = i
	(*h)[j].expiryIndex = j
}

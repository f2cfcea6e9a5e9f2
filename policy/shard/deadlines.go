package shard

import (
	"cmp"
	"slices"
)

// deadlineQueue holds jobs sorted by deadline, so that planning need not sort them.
type deadlineQueue struct {
	jobs []*jobState
}

func compareDeadlines(x, y *jobState) int {
	if x.queueDeadline != y.queueDeadline {
		return cmp.Compare(x.queueDeadline, y.queueDeadline)
	}
	return cmp.Compare(x.ID, y.ID)
}

func (q *deadlineQueue) add(j *jobState) {
	j.queueDeadline = j.deadline().UnixNano()
	at, _ := slices.BinarySearchFunc(q.jobs, j, compareDeadlines)
	q.jobs = slices.Insert(q.jobs, at, j)
}

func (q *deadlineQueue) remove(j *jobState) {
	at, found := slices.BinarySearchFunc(q.jobs, j, compareDeadlines)
	if found {
		q.jobs = slices.Delete(q.jobs, at, at+1)
	}
}

// refresh sorts the queue again after deadlines have changed.
func (q *deadlineQueue) refresh() {
	for _, j := range q.jobs {
		j.queueDeadline = j.deadline().UnixNano()
	}
	slices.SortFunc(q.jobs, compareDeadlines)
}

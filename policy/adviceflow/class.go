package adviceflow

// Class orders requests to the advice service by what their tickets are expected to be good for.
type Class uint8

// The classes, the most urgent first.
const (
	// Startable is the class of a step that could start with a ticket.
	Startable Class = iota
	// Repeated is the class of a step that could start with a ticket, but whose last request brought no start.
	Repeated
	// Ahead is the class of a step that can't start yet.
	Ahead

	// Classes is the number of classes.
	Classes
)

// turnInterval is the number of requests of which one is of each lower class of which there are any: else steps of
// the highest one go first for ever.
const turnInterval = 4

// Turns shares requests among the classes. Its zero value is ready for use.
type Turns struct {
	since [Classes]int // requests of other classes since the last one of a class
}

// Next returns the class of the next request, if there are requests of one of the classes.
func (t *Turns) Next(waiting [Classes]bool) (Class, bool) {
	for c := Classes - 1; c > Startable; c-- {
		if waiting[c] && t.since[c] >= turnInterval-1 {
			return c, true
		}
	}
	for c := Startable; c < Classes; c++ {
		if waiting[c] {
			return c, true
		}
	}
	return 0, false
}

// Took records that a request of the class was made.
func (t *Turns) Took(class Class) {
	for c := range t.since {
		t.since[c]++
	}
	t.since[class] = 0
}

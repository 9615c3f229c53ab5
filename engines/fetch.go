package engines

// Cost is what the prompts of a service cost its engines, in milliseconds a token; what is
// not known is zero.
type Cost struct {
	// Prefill is the time to read a token, and Transfer that to take it from another engine of
	// the same data hall.
	Prefill, Transfer float64
}

// farMoves is how many times as long a move takes between data halls.
const farMoves = 2

// fetches reports whether an engine that lacks a prompt had better take it from another
// than read it. All that runs there waits while it reads, and only the request itself
// while it takes. load is how many requests the engine has. Without word of the cost, it
// takes.
func (c Cost) fetches(load float64, far bool) bool {
	if c.Prefill <= 0 || c.Transfer <= 0 {
		return true
	}
	move := c.Transfer
	if far {
		move *= farMoves
	}
	return move <= c.Prefill*(1+load)
}

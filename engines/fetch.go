package engines

// Cost is what the prompts of a service cost its engines, in milliseconds per token. A
// cost that is not known is zero.
type Cost struct {
	// Prefill is the time to compute a token, Transfer the time to fetch it from the
	// cache of another engine in the same data hall.
	Prefill, Transfer float64
}

// crossHallFactor is how many times as long a transfer takes between data halls.
const crossHallFactor = 2

// prefersFetch reports whether an engine with load requests should fetch a prefix that
// it lacks from another engine rather than prefill it. A prefill delays all requests on
// the engine, a fetch only the request itself. If the costs are not known, it fetches.
func (c Cost) prefersFetch(load float64, crossHall bool) bool {
	if c.Prefill <= 0 || c.Transfer <= 0 {
		return true
	}
	transfer := c.Transfer
	if crossHall {
		transfer *= crossHallFactor
	}
	return transfer <= c.Prefill*(1+load)
}

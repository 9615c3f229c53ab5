package peers

// Others returns the addresses of the others that are known, sorted.
func (m *Members) Others() []string { return m.others() }

// How many loads a question and an answer tell.
const (
	LoadsAsked = requestLoads
	LoadsTold  = responseLoads
)

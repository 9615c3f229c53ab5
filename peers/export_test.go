package peers

// Others returns the sorted addresses of the other known entries.
func (m *Members) Others() []string { return m.others() }

// Limits of the loads in a request and in a response.
const (
	RequestLoads  = requestLoads
	ResponseLoads = responseLoads
)

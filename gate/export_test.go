package gate

// ShareOf returns the gate's part of what all entries may do.
func (g *Gate) ShareOf(whole int, key string) int { return g.shares.Of(whole, key) }

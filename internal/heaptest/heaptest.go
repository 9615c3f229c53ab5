// Package heaptest measures what data costs in memory, for tests.
package heaptest

import "runtime"

// BytesPerItem returns the heap bytes that the value returned by build costs,
// divided by n.
func BytesPerItem[T any](n int, build func() T) float64 {
	before := inUse()
	v := build()
	used := float64(inUse()-before) / float64(n)
	runtime.KeepAlive(v)
	return used
}

func inUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

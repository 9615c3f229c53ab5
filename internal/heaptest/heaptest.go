// Package heaptest measures the heap use of data in tests.
package heaptest

import "runtime"

// BytesPerItem returns the heap use of the value that build returns, divided by its n items.
func BytesPerItem[T any](n int, build func() T) float64 {
	before := heapBytes()
	v := build()
	used := float64(heapBytes()-before) / float64(n)
	runtime.KeepAlive(v)
	return used
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

package city

import (
	"fmt"
	"testing"
	"time"
)

func TestStartTrial(t *testing.T) {
	for _, size := range []int{10, 33, 100} {
		began := time.Now()
		mesh := newMeshSimulation(t, 1, size, size, size)
		var sum, most traffic
		for _, proxy := range mesh.proxies {
			sum.add(proxy.traffic)
			most.busiest(proxy.traffic)
		}
		fmt.Printf("size %d: sum %+v most %+v wall %v\n", 3*size, sum, most, time.Since(began))
	}
}

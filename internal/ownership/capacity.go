package ownership

import (
	"strings"
	"sync"
)

// smallFraction is the part of the largest instance's processor time up to which an instance is small.
const smallFraction = 0.5

// CapacityTable holds the processor time of all instances that tell it. It is safe for concurrent use.
type CapacityTable struct {
	mu sync.Mutex
	// cores holds the processor time of each machine in cores.
	cores map[string]float64
}

// NewCapacityTable returns a table that knows the processor time of one machine.
func NewCapacityTable(machine string, cores float64) *CapacityTable {
	t := &CapacityTable{cores: map[string]float64{}}
	t.SetCapacity(machine, cores)
	return t
}

// SetCapacity records the processor time of a machine in cores. A machine that does not tell it counts as large.
func (t *CapacityTable) SetCapacity(machine string, cores float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cores > 0 {
		t.cores[machine] = cores
		return
	}
	delete(t.cores, machine)
}

// RemoveCapacity forgets a machine.
func (t *CapacityTable) RemoveCapacity(machine string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.cores, machine)
}

// IsSmall implements Capacities. An instance is named by its machine, or by its machine, a slash and its process.
func (t *CapacityTable) IsSmall(instance string) bool {
	machine, _, _ := strings.Cut(instance, "/")
	t.mu.Lock()
	defer t.mu.Unlock()
	own, ok := t.cores[machine]
	if !ok {
		return false
	}
	for _, cores := range t.cores {
		if own <= smallFraction*cores {
			return true
		}
	}
	return false
}

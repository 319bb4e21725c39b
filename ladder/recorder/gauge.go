package recorder

import "maps"

// Gauge registers a function that returns the present value of a quantity. Names are in
// kebab-case. A later function replaces an earlier one of the same name.
func (r *Recorder) Gauge(name string, value func() int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.gauges[name] = value
}

// Gauges returns the present values of all gauges.
func (r *Recorder) Gauges() map[string]int64 {
	r.mutex.Lock()
	functions := maps.Clone(r.gauges)
	r.mutex.Unlock()
	values := make(map[string]int64, len(functions))
	for name, f := range functions {
		values[name] = f()
	}
	return values
}

package forwarder

// Counter counts events; *recorder.Recorder implements it.
type Counter interface{ Count(name string) }

// WithCounter makes the Forwarder count what becomes of streams that callers may take up.
func WithCounter(c Counter) Option { return func(f *Forwarder) { f.counter = c } }

// noCounter counts nothing.
type noCounter struct{}

// Count implements Counter.
func (noCounter) Count(string) {}

// The counters of streams that callers may take up.
const (
	// counterTakenUp counts the streams that callers took up.
	counterTakenUp = "streams-taken-up"
	// counterUnknown counts the refusals of streams whose software version is unknown.
	counterUnknown = "streams-refused-as-unknown"
	// counterUnlisted counts the refusals of streams whose start is not listed yet.
	counterUnlisted = "streams-refused-as-unlisted"
	// counterListedLater counts the streams that waited until their start was listed.
	counterListedLater = "streams-listed-later"
	// counterUnrecorded counts the streams that didn't begin since they couldn't be recorded.
	counterUnrecorded = "streams-ended-unrecorded"
	// counterBegunAnew counts the runs that were given up since they couldn't be recorded.
	counterBegunAnew = "streams-begun-anew"
	// counterUnlistedStart counts the streams that began at a start that is not listed.
	counterUnlistedStart = "streams-begun-unlisted"
)

package budget

const (
	// ConnectionBytes is what an open connection of a caller holds: its goroutine, buffers and entry in tables.
	ConnectionBytes = 16 << 10
	// requestBytes is what a request holds besides its head and body: goroutines, contexts and the call.
	requestBytes = 8 << 10
	// lineBytes is what one line of a head holds in the maps and messages of the request, besides its text.
	lineBytes = 512
	// textCopies is the number of times that the text of a head is in memory at once.
	textCopies = 4
	// maxEncodedHeadBytes is the most of an encoded call or answer that may be header lines, and encodedHeadFactor what they hold for each byte: a
	// line of four bytes takes 14 encoded and about 300 decoded.
	maxEncodedHeadBytes = 64 << 10
	encodedHeadFactor   = 24
)

// HeadBytes returns what a request with a head of some size and number of lines holds, without its body.
func HeadBytes(size, lines int) int64 {
	return requestBytes + textCopies*int64(size) + lineBytes*int64(lines)
}

// MessageBytes returns what an encoded call or answer of some size holds while it is decoded and used. Its largest field, usually the body, is not
// decoded further.
func MessageBytes(size, largestField int64) int64 {
	rest := max(size-largestField, 0)
	return requestBytes + Copies*size + encodedHeadFactor*min(rest, maxEncodedHeadBytes)
}

const (
	// minBytes is the size of the smallest budget.
	minBytes = 4 << 20
	// softLimitFraction of the memory of the process is the limit that the garbage collector works towards. The rest is for the program
	// itself, which is about 15 MB, and for what is allocated while the collector works.
	softLimitFraction = 0.8
	// controlBytes is the memory for everything that is not for callers: configuration, beats, announcements, readiness and the runtime.
	controlBytes = 32 << 20
	// garbageFraction of the memory for callers is left to garbage, so that the collector need not run all the time.
	garbageFraction = 0.2
)

// SoftLimit returns the limit of the Go runtime for a process whose memory is limited.
func SoftLimit(memoryBytes int64) int64 { return int64(softLimitFraction * float64(memoryBytes)) }

// Sizes returns the size of the budget and of its reserve for a process with a soft limit and bodies of at most maxBodyBytes. One body of that size
// must fit beside the part for small accounts, whatever the limit is.
func Sizes(softLimit, maxBodyBytes int64) (size, reserve int64) {
	available := int64((1 - garbageFraction) * float64(softLimit-controlBytes))
	largest := MessageBytes(maxBodyBytes+maxEncodedHeadBytes, maxBodyBytes)
	smallest := largest*smallDivisor/(smallDivisor-1) + minBytes
	return max(available-largest, smallest), largest
}

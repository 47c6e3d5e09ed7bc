package claim

// Answer is the response of a target to an operation. Header and Body must not
// be modified once the answer has been passed to a Table, since replays share
// them.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the header fields of the response.
	Header map[string][]string
	// Body is the complete body of the response.
	Body []byte
}

// Size returns the size of the header and the body in bytes, which counts
// towards Limits.MaxAnswerBytes.
func (a *Answer) Size() int {
	size := len(a.Body)
	for name, values := range a.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}

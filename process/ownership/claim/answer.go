package claim

// Answer is what a target answered to an operation. Header and Body are not
// to be changed after it was handed over.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the answer's header fields.
	Header map[string][]string
	// Body is the whole body.
	Body []byte
}

// Size returns the bytes that the answer counts for against a limit.
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

package version

import "strings"

// maxNameBytes bounds the length of a name, in bytes. It is the limit for a
// label of a host name.
const maxNameBytes = 63

// validName reports whether name consists of lower-case letters, digits and
// inner hyphens, as a label of a host name does, and is not too long.
func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	if name[0] == '-' || name[len(name)-1] == '-' {
		return false
	}
	for _, c := range []byte(name) {
		if !isNameByte(c) {
			return false
		}
	}
	return true
}

func isNameByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-'
}

// validHost reports whether host is a lower-case host name without a port.
func validHost(host string) bool {
	for _, label := range strings.Split(host, ".") {
		if !validName(label) {
			return false
		}
	}
	return true
}

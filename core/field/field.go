// Package field checks the names and values of HTTP fields.
package field

// deleteChar is the control character behind the printable ones.
const deleteChar = 0x7f

// IsToken reports whether s is a token, as field names and methods are (RFC 9110, 5.6.2).
func IsToken[T string | []byte](s T) bool {
	for i := range len(s) {
		c := s[i]
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && !isPunctuation(c) {
			return false
		}
	}
	return len(s) > 0
}

// isPunctuation reports whether c is a punctuation character that a token may contain.
func isPunctuation(c byte) bool {
	switch c {
	case '!', '#', '$', '%', '&', '\'', '*', '+', '-', '.', '^', '_', '`', '|', '~':
		return true
	}
	return false
}

// HasControl reports whether text has a control character other than a tab, which no field
// value may contain (RFC 9110, 5.5). Line feeds and carriage returns are such characters.
func HasControl(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == deleteChar {
			return true
		}
	}
	return false
}

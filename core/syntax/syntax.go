// Package syntax checks the parts of HTTP messages: tokens, field values and statuses.
package syntax

import "net/http"

const (
	// deleteChar is the control character behind the printable ones.
	deleteChar = 0x7f
	// tokenPunctuation holds the characters other than letters and digits that a token may
	// contain (RFC 9110, 5.6.2).
	tokenPunctuation = "!#$%&'*+-.^_`|~"
	// maxStatus is the last status (RFC 9110, 15).
	maxStatus = 599
)

// tokenChars and controlChars report for each byte whether a token may contain it, and
// whether it is a control character other than a tab. Tables, since they are read for each
// byte of a head.
var tokenChars, controlChars = charTables()

// IsToken reports whether s is a token, as field names and methods are.
func IsToken[T string | []byte](s T) bool {
	for i := range len(s) {
		if !tokenChars[s[i]] {
			return false
		}
	}
	return len(s) > 0
}

// HasControl reports whether text has a control character other than a tab, which no field
// value may contain (RFC 9110, 5.5). Line feeds and carriage returns are such characters.
func HasControl(text []byte) bool {
	for _, c := range text {
		if controlChars[c] {
			return true
		}
	}
	return false
}

// IsStatus reports whether HTTP allows n as a status.
func IsStatus(n int) bool {
	return n >= http.StatusContinue && n <= maxStatus
}

// IsFinalStatus reports whether HTTP allows n as the status of a final response.
func IsFinalStatus(n int) bool {
	return n >= http.StatusOK && n <= maxStatus
}

// IsFailureStatus reports whether n is the status of a response that reports a failure.
func IsFailureStatus(n int) bool {
	return n >= http.StatusBadRequest && n <= maxStatus
}

// charTables returns the values of tokenChars and controlChars.
func charTables() (token, control [256]bool) {
	for i := range token {
		c := byte(i)
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		digit := c >= '0' && c <= '9'
		token[i] = letter || digit
		control[i] = c < ' ' && c != '\t' || c == deleteChar
	}
	for _, c := range []byte(tokenPunctuation) {
		token[c] = true
	}
	return token, control
}

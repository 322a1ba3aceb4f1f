package keys

import (
	"bytes"
	"crypto/rand"
	"crypto/subtle"
	"fmt"
	"os"
	"path/filepath"

	"hickoryrail/core/ident"
)

const (
	// OperatorToken is the file with the operators' bearer token.
	OperatorToken = "operator.token"
	// OperatorDigest is the file with the token's SHA-256 digest, which is installed
	// on nodes instead of the token.
	OperatorDigest = "operator.sha256"
)

// CreateOperator writes a random bearer token and its digest.
func CreateOperator(directory string) error {
	token := rand.Text() + rand.Text()
	if err := writeNew(filepath.Join(directory, OperatorToken), []byte(token+"\n"), secretMode); err != nil {
		return err
	}
	digest := ident.Sum([]byte(token)).String() + "\n"
	return writeNew(filepath.Join(directory, OperatorDigest), []byte(digest), publicMode)
}

// LoadOperatorToken returns the operators' bearer token.
func LoadOperatorToken(directory string) (string, error) {
	body, err := os.ReadFile(filepath.Join(directory, OperatorToken))
	if err != nil {
		return "", fmt.Errorf("read operator token: %w", err)
	}
	return string(bytes.TrimSpace(body)), nil
}

// LoadOperatorDigest returns the digest of the operators' bearer token.
func LoadOperatorDigest(directory string) (ident.Digest, error) {
	var d ident.Digest
	body, err := os.ReadFile(filepath.Join(directory, OperatorDigest))
	if err != nil {
		return d, fmt.Errorf("read operator digest: %w", err)
	}
	if err := d.UnmarshalText(bytes.TrimSpace(body)); err != nil {
		return d, fmt.Errorf("%s: %w", OperatorDigest, err)
	}
	return d, nil
}

// Matches reports whether d is the digest of token. The digests are compared in
// constant time.
func Matches(d ident.Digest, token string) bool {
	sum := ident.Sum([]byte(token))
	return subtle.ConstantTimeCompare(sum[:], d[:]) == 1
}

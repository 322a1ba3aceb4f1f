// Package keys provides the credentials of a fleet: its certificate authority, the
// certificates of its nodes and the operators' bearer token.
package keys

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"time"

	"hickoryrail/core/ident"
)

const (
	// AuthorityCertificate is the file with the authority's certificate; it is
	// installed on every node.
	AuthorityCertificate = "authority.crt"
	// AuthorityKey is the file with the authority's private key; it must not be
	// installed on any node.
	AuthorityKey = "authority.key"

	// authorityYears and nodeYears are the validity periods of the certificates.
	authorityYears = 10
	nodeYears      = 2
	// clockMargin is how far the start of a certificate's validity lies in the past,
	// because the clocks of servers differ by seconds.
	clockMargin = time.Hour
	// maxNodeIDBytes is the maximum length of a certificate's common name.
	maxNodeIDBytes = 64

	// secretMode and publicMode are the permissions of files with and without secrets.
	secretMode = 0o600
	publicMode = 0o644
	// directoryMode holds the permissions of the key directory.
	directoryMode = 0o700
)

// Authority signs the certificates of one fleet.
type Authority struct {
	// Directory contains the authority's files; CreateNode writes the files of nodes
	// to it.
	Directory   string
	certificate *x509.Certificate
	key         ed25519.PrivateKey
}

// nodeName matches the node ids that are valid names in a certificate.
var nodeName = regexp.MustCompile(`^[A-Za-z0-9_][A-Za-z0-9_-]*(\.[A-Za-z0-9_][A-Za-z0-9_-]*)*$`)

// CreateFleet creates a key directory: an authority, an operator credential and a
// certificate for each node. It returns an error if the directory already holds
// an authority.
func CreateFleet(directory string, nodes []ident.NodeID) (*Authority, error) {
	a, err := CreateAuthority(directory)
	if err != nil {
		return nil, err
	}
	if err := CreateOperator(directory); err != nil {
		return nil, err
	}
	for _, n := range nodes {
		if err := a.CreateNode(n); err != nil {
			return nil, err
		}
	}
	return a, nil
}

// CreateAuthority creates an authority in directory. It returns an error if one
// already exists, because a new authority would invalidate the certificates of all
// existing nodes.
func CreateAuthority(directory string) (*Authority, error) {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return nil, fmt.Errorf("create key directory: %w", err)
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate authority key: %w", err)
	}
	template := certificateTemplate("hickoryrail authority", authorityYears)
	template.IsCA = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return nil, fmt.Errorf("create authority certificate: %w", err)
	}
	if err := writeKey(filepath.Join(directory, AuthorityKey), private); err != nil {
		return nil, err
	}
	if err := writePEM(filepath.Join(directory, AuthorityCertificate), "CERTIFICATE", der, publicMode); err != nil {
		return nil, err
	}
	return OpenAuthority(directory)
}

// OpenAuthority loads the authority in directory.
func OpenAuthority(directory string) (*Authority, error) {
	der, err := readPEM(filepath.Join(directory, AuthorityCertificate), "CERTIFICATE")
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse authority certificate: %w", err)
	}
	key, err := readKey(filepath.Join(directory, AuthorityKey))
	if err != nil {
		return nil, err
	}
	return &Authority{Directory: directory, certificate: certificate, key: key}, nil
}

// CreateNode writes the private key and the certificate of a node. It returns an
// error if the id is not valid in a certificate or if a file already exists.
func (a *Authority) CreateNode(n ident.NodeID) error {
	if err := CheckNodeID(n); err != nil {
		return err
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return fmt.Errorf("generate key of node %s: %w", n, err)
	}
	template := certificateTemplate(string(n), nodeYears)
	template.DNSNames = []string{string(n)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, public, a.key)
	if err != nil {
		return fmt.Errorf("create certificate of node %s: %w", n, err)
	}
	if err := writeKey(nodePath(a.Directory, n, ".key"), private); err != nil {
		return err
	}
	return writePEM(nodePath(a.Directory, n, ".crt"), "CERTIFICATE", der, publicMode)
}

// CheckNodeID returns an error unless n is valid as the identity in a certificate: it
// must have the form of a host name and must not be an IP address, which verifiers
// treat differently.
func CheckNodeID(n ident.NodeID) error {
	if len(n) > maxNodeIDBytes || !nodeName.MatchString(string(n)) || net.ParseIP(string(n)) != nil {
		return fmt.Errorf("node id %q: allowed are up to %d letters, digits, '-', '_' and inner '.', and no IP address", n, maxNodeIDBytes)
	}
	return nil
}

// nodePath returns the path of the file of node n with the given suffix.
func nodePath(directory string, n ident.NodeID, suffix string) string {
	return filepath.Join(directory, "node-"+string(n)+suffix)
}

// certificateTemplate returns a template whose validity ends the given number of years
// from now.
func certificateTemplate(name string, years int) *x509.Certificate {
	now := time.Now()
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		panic(err) // crypto/rand never fails on supported systems
	}
	return &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-clockMargin),
		NotAfter:              now.AddDate(years, 0, 0),
		BasicConstraintsValid: true,
	}
}

// writeKey writes a private key to a new file.
func writeKey(path string, key ed25519.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	return writePEM(path, "PRIVATE KEY", der, secretMode)
}

// readKey reads an Ed25519 private key.
func readKey(path string) (ed25519.PrivateKey, error) {
	der, err := readPEM(path, "PRIVATE KEY")
	if err != nil {
		return nil, err
	}
	parsed, err := x509.ParsePKCS8PrivateKey(der)
	if err != nil {
		return nil, fmt.Errorf("parse %s: %w", path, err)
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("%s: key is not of type Ed25519", path)
	}
	return key, nil
}

// writePEM writes one PEM block to a new file.
func writePEM(path, kind string, der []byte, mode os.FileMode) error {
	return writeNew(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), mode)
}

// writeNew creates a file that has the given permissions from the start and writes
// body. It returns an error if the file already exists.
func writeNew(path string, body []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return fmt.Errorf("create key file: %w", err)
	}
	_, err = f.Write(body)
	return errors.Join(err, f.Close())
}

// readPEM reads the first PEM block of a file, which must be of the given kind.
func readPEM(path, kind string) ([]byte, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read key file: %w", err)
	}
	block, _ := pem.Decode(body)
	if block == nil || block.Type != kind {
		return nil, fmt.Errorf("%s: no %s in PEM form", path, kind)
	}
	return block.Bytes, nil
}

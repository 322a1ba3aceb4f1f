package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"hickoryrail/core/ident"
)

// Identity is a node's certificate together with the fleet's authority.
type Identity struct {
	Node        ident.NodeID
	Certificate tls.Certificate
	// Authority contains only the fleet's own authority.
	Authority *x509.CertPool
}

// errNoNode reports a certificate that does not name exactly one node.
var errNoNode = errors.New("certificate does not name exactly one node")

// LoadIdentity loads the identity of node n. It returns an error if the certificate
// was issued for another node or by another authority.
func LoadIdentity(directory string, n ident.NodeID) (Identity, error) {
	if err := CheckNodeID(n); err != nil {
		return Identity{}, err
	}
	pool, err := LoadAuthority(directory)
	if err != nil {
		return Identity{}, err
	}
	certificate, err := tls.LoadX509KeyPair(nodePath(directory, n, ".crt"), nodePath(directory, n, ".key"))
	if err != nil {
		return Identity{}, fmt.Errorf("load certificate of node %s: %w", n, err)
	}
	if certified, err := NodeOf(certificate.Leaf); err != nil || certified != n {
		return Identity{}, fmt.Errorf("certificate of node %s: names %q: %w", n, certified, errNoNode)
	}
	options := x509.VerifyOptions{Roots: pool, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}
	if _, err := certificate.Leaf.Verify(options); err != nil {
		return Identity{}, fmt.Errorf("certificate of node %s: %w", n, err)
	}
	return Identity{Node: n, Certificate: certificate, Authority: pool}, nil
}

// LoadAuthority returns a pool that contains only the fleet's own authority.
func LoadAuthority(directory string) (*x509.CertPool, error) {
	body, err := os.ReadFile(filepath.Join(directory, AuthorityCertificate))
	if err != nil {
		return nil, fmt.Errorf("read authority certificate: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(body) {
		return nil, fmt.Errorf("%s: no certificate in PEM form", AuthorityCertificate)
	}
	return pool, nil
}

// NodeOf returns the node that a verified certificate names.
func NodeOf(c *x509.Certificate) (ident.NodeID, error) {
	if c == nil || len(c.DNSNames) != 1 || c.DNSNames[0] != c.Subject.CommonName {
		return "", errNoNode
	}
	return ident.NodeID(c.DNSNames[0]), nil
}

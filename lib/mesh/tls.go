package mesh

import (
	"crypto/tls"
	"crypto/x509"
	"os"
)

// CertName is the DNS name that a certificate must carry to be a member of the mesh. Instances come and go on any address, so the name of
// a role is verified instead of an address; a certificate of the same authority for another purpose is rejected.
const CertName = "anvilwick-mesh"

// TLSFiles names the PEM files of a node.
type TLSFiles struct {
	CA   string // authority that signs all members' certificates
	Cert string
	Key  string
}

// LoadTLS reads the files and returns a configuration for both ends of a link: each end authenticates itself as a member.
func LoadTLS(f TLSFiles) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, ErrConfig.Wrap(err, "load TLS certificate and key")
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, ErrConfig.Wrap(err, "read TLS certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, ErrConfig.New("%s contains no certificate", f.CA)
	}
	return &tls.Config{
		Certificates:     []tls.Certificate{cert},
		RootCAs:          pool,
		ClientCAs:        pool,
		ClientAuth:       tls.RequireAndVerifyClientCert,
		ServerName:       CertName,
		MinVersion:       tls.VersionTLS13,
		VerifyConnection: verifyName,
	}, nil
}

// verifyName checks CertName at both ends; the library checks only the server's name.
func verifyName(cs tls.ConnectionState) error {
	if len(cs.PeerCertificates) == 0 {
		return ErrConfig.New("peer presented no certificate")
	}
	return cs.PeerCertificates[0].VerifyHostname(CertName)
}

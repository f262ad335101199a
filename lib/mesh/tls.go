package mesh

import (
	"crypto/tls"
	"crypto/x509"
	"os"
)

// CertName is the DNS name that a certificate must carry to be a member of the mesh. Instances come and go on any
// address, so a name of the role is checked in place of an address; a certificate of the same authority for another
// use is refused.
const CertName = "anvilwick-mesh"

// TLSFiles names PEM files, as settings give them.
type TLSFiles struct {
	CA   string // authority that signs every member's certificate
	Cert string
	Key  string
}

// LoadTLS reads the files and returns a configuration for both ends of a link: each end proves membership.
func LoadTLS(f TLSFiles) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, ErrConfig.Wrap(err, "load certificate and key of links")
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, ErrConfig.Wrap(err, "read authority of links")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, ErrConfig.New("%s holds no certificate", f.CA)
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

// verifyName checks CertName on both ends; the library checks it only for the one that answers.
func verifyName(cs tls.ConnectionState) error {
	if len(cs.PeerCertificates) == 0 {
		return ErrConfig.New("peer showed no certificate")
	}
	return cs.PeerCertificates[0].VerifyHostname(CertName)
}

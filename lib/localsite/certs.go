package localsite

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"anvilwick.example/anvilwick/lib/mesh"
)

const certValidity = 24 * time.Hour // far more than the lifetime of a local site

// WriteCerts writes a new CA certificate, and one certificate and key for the site's links, to dir.
func WriteCerts(dir string) (mesh.TLSFiles, error) {
	caKey, caCert, err := newCA()
	if err != nil {
		return mesh.TLSFiles{}, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return mesh.TLSFiles{}, err
	}
	tmpl := certTemplate(mesh.CertName)
	tmpl.DNSNames = []string{mesh.CertName}
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, caCert, &key.PublicKey, caKey)
	if err != nil {
		return mesh.TLSFiles{}, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return mesh.TLSFiles{}, err
	}
	f := mesh.TLSFiles{
		CA:   filepath.Join(dir, "links-ca.pem"),
		Cert: filepath.Join(dir, "links.pem"),
		Key:  filepath.Join(dir, "links.key"),
	}
	for _, p := range []struct {
		file, kind string
		der        []byte
	}{{f.CA, "CERTIFICATE", caCert.Raw}, {f.Cert, "CERTIFICATE", der}, {f.Key, "PRIVATE KEY", keyDER}} {
		if err := os.WriteFile(p.file, pem.EncodeToMemory(&pem.Block{Type: p.kind, Bytes: p.der}), 0o600); err != nil {
			return f, err
		}
	}
	return f, nil
}

func newCA() (*ecdsa.PrivateKey, *x509.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	tmpl := certTemplate("local site")
	tmpl.IsCA, tmpl.BasicConstraintsValid = true, true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return nil, nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return key, cert, err
}

func certTemplate(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(certValidity),
	}
}

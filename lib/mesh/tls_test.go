package mesh

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
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/shoenig/test/must"
)

type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
	dir  string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	tmpl := template("test authority")
	tmpl.IsCA, tmpl.BasicConstraintsValid = true, true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	must.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	must.NoError(t, err)
	a := &authority{cert: cert, key: key, dir: t.TempDir()}
	a.file = a.write(t, "ca.pem", "CERTIFICATE", der)
	return a
}

func template(cn string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: cn},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func (a *authority) write(t *testing.T, name, kind string, der []byte) string {
	t.Helper()
	file := filepath.Join(a.dir, name)
	must.NoError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return file
}

// issue signs a certificate for a DNS name and returns its files.
func (a *authority) issue(t *testing.T, dns string) TLSFiles {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	tmpl := template(dns)
	tmpl.DNSNames = []string{dns}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	must.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	must.NoError(t, err)
	return TLSFiles{
		CA:   a.file,
		Cert: a.write(t, dns+".pem", "CERTIFICATE", der),
		Key:  a.write(t, dns+".key", "PRIVATE KEY", keyDER),
	}
}

func tlsOptions(t *testing.T, instance string, f TLSFiles) Options {
	t.Helper()
	o := fastOptions(instance)
	o.Plaintext = false
	c, err := LoadTLS(f)
	must.NoError(t, err)
	o.TLS = c
	o.DialTimeout = 2 * time.Second
	return o
}

func TestTLSLinkBetweenMembers(t *testing.T) {
	ca := newAuthority(t)
	files := ca.issue(t, CertName)
	a, _ := startNode(t, tlsOptions(t, "a", files))
	_, addr := startNode(t, tlsOptions(t, "b", files))
	echoCall(t, openTo(t, a, "b", addr), 3)
}

// A peer opens a link with a certificate of another authority, with one of the same authority for another purpose, or with none. It must
// get no stream, whichever end it is.
func TestTLSRejectsUnauthorizedPeers(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	member := tlsOptions(t, "b", ours.issue(t, CertName))
	_, addr := startNode(t, member)
	foreign := theirs.issue(t, CertName)
	foreign.CA = ours.file
	unauthorized := map[string]Options{
		"another authority": tlsOptions(t, "x", foreign),
		"another use":       tlsOptions(t, "x", ours.issue(t, "operator")),
		"plain":             fastOptions("x"),
	}
	for name, o := range unauthorized {
		t.Run(name, func(t *testing.T) {
			x, xAddr := startNode(t, o)
			_, err := x.Open(t.Context(), Peer{"b", addr}, kindEcho)
			must.Error(t, err)
			b, _ := startNode(t, member)
			_, err = b.Open(t.Context(), Peer{"x", xAddr}, kindEcho)
			must.Error(t, err)
		})
	}
}

func TestLoadTLSReportsConfigErrors(t *testing.T) {
	ca := newAuthority(t)
	files := ca.issue(t, CertName)
	files.CA = files.Key
	_, err := LoadTLS(files)
	must.True(t, errorx.IsOfType(err, ErrConfig))
	_, err = LoadTLS(TLSFiles{})
	must.True(t, errorx.IsOfType(err, ErrConfig))
}

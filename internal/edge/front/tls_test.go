package front

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// writeCertificate writes a self-signed certificate for the loopback address and
// its key.
func writeCertificate(t *testing.T) (certFile string, keyFile string) {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	is.NoErr(err)
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	directory := t.TempDir()
	certFile, keyFile = filepath.Join(directory, "cert.pem"), filepath.Join(directory, "key.pem")
	is.NoErr(os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}), 0o600))
	is.NoErr(os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded}), 0o600))
	return certFile, keyFile
}

func TestTLS(t *testing.T) {
	certFile, keyFile := writeCertificate(t)
	for _, driver := range clients {
		t.Run(driver.name, func(t *testing.T) {
			is := is.New(t)
			fakeKernel := newFakeKernel(t, Spec{CertFile: certFile, KeyFile: keyFile}, echo)
			url := "postgres://registrar@" + fakeKernel.server.Address() + "/katalog?sslmode=verify-full&sslrootcert=" + certFile
			client := driver.open(t, url)
			rows, err := client.query("SELECT $1", "course-17")
			is.NoErr(err)
			is.Equal(rows[0][1], "course-17")
		})
	}
}

func TestDirectTLS(t *testing.T) {
	is := is.New(t)
	certFile, keyFile := writeCertificate(t)
	fakeKernel := newFakeKernel(t, Spec{CertFile: certFile, KeyFile: keyFile}, echo)
	url := "postgres://registrar@" + fakeKernel.server.Address() + "/katalog?sslmode=verify-full&sslnegotiation=direct&sslrootcert=" + certFile
	rows, err := openPgx(t, url).query("SELECT $1", "course-17")
	is.NoErr(err)
	is.Equal(rows[0][1], "course-17")
}

func TestCertificateWithoutKey(t *testing.T) {
	is := is.New(t)
	_, err := New(Spec{CertFile: "cert.pem"}, nil, nil)
	is.True(err != nil)
}

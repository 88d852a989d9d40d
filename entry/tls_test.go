package entry_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/hawthornrock/hawthornrock/demo"
	"github.com/hawthornrock/hawthornrock/entry"
	"github.com/hawthornrock/hawthornrock/standin"
	"github.com/hawthornrock/hawthornrock/state/settings"
)

// selfSignedTLS writes a self-signed certificate for the loopback address and returns the settings
// that use it.
func selfSignedTLS(t *testing.T) settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	encoded, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	dir := t.TempDir()
	s := settings.TLS{CertificateFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem")}
	s.CAFile = s.CertificateFile
	require.NoError(t, os.WriteFile(s.CertificateFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}), 0o600))
	require.NoError(t, os.WriteFile(s.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: encoded}), 0o600))
	return s
}

// TestTLSOnEveryListener guards against a listener, or a connection between daemons, that does not
// use the configured certificate and CA.
func TestTLSOnEveryListener(t *testing.T) {
	platform := httptest.NewServer(standin.NewLog(0).Handler())
	defer platform.Close()
	tlsSettings := selfSignedTLS(t)
	var allSettings []settings.Settings
	for _, name := range []string{"entry-1", "entry-2"} {
		daemonSettings := settings.Default()
		daemonSettings.Daemon, daemonSettings.FailureDomain, daemonSettings.Peers.Secret, daemonSettings.TLS = name, "bayangol", "s", tlsSettings
		daemonSettings.Platform.Address = strings.TrimPrefix(platform.URL, "http://")
		for _, address := range []*string{&daemonSettings.Listen.Callers, &daemonSettings.Listen.Operators, &daemonSettings.Listen.Peers} {
			freeAddress, err := demo.FreeAddress()
			require.NoError(t, err)
			*address = freeAddress
		}
		allSettings = append(allSettings, daemonSettings)
	}
	ctx, cancel := context.WithCancel(t.Context())
	results := make(chan error, len(allSettings))
	for i := range allSettings {
		allSettings[i].Peers.Seeds = []string{allSettings[0].Listen.Peers, allSettings[1].Listen.Peers}
		daemon, err := entry.New(allSettings[i], &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, noop.NewTracerProvider().Tracer(""))
		require.NoError(t, err)
		go func() { results <- daemon.Run(ctx) }()
	}
	roots := x509.NewCertPool()
	caPEM, err := os.ReadFile(tlsSettings.CAFile)
	require.NoError(t, err)
	require.True(t, roots.AppendCertsFromPEM(caPEM))
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}}}
	require.Eventually(t, func() bool {
		resp, err := client.Get("https://" + allSettings[0].Listen.Callers + "/v1/entries")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		return err == nil && strings.Contains(string(body), allSettings[1].Listen.Callers)
	}, 10*time.Second, 50*time.Millisecond, "the daemons do not exchange heartbeats over TLS")
	client.CloseIdleConnections()
	cancel()
	for range allSettings {
		require.NoError(t, <-results)
	}
}

package integrity_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"

	"github.com/hawthornrock/hawthornrock/transport/integrity"
)

func ExampleTransport() {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "whole")
	}))
	defer server.Close()
	client := &http.Client{Transport: &integrity.Transport{}}
	resp, err := client.Get(server.URL)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	fmt.Println(string(body), err)
	// Output: whole <nil>
}

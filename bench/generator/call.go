package generator

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/bench/outcome"
	"github.com/pkg/errors"
)

const (
	// requestTimeout bounds one request, from its sending to the end of its answer, attempts included.
	requestTimeout    = 30 * time.Second
	maxAttempts       = 3
	serviceCallTokens = 1
	bytesPerToken     = 4
	// codeTransport is the error code of a request that got no response.
	codeTransport = "transport"
)

// entryResponse is a VM's answer to GET /v1/entry: the caller addresses to use, in order of preference.
type entryResponse struct {
	Addresses   []string `json:"addresses"`
	KeepSeconds float64  `json:"keep_seconds"`

	expiresAt time.Time
}

type errorResponse struct {
	Error struct {
		Code string `json:"code"`
		Run  string `json:"run"`
	} `json:"error"`
}

type streamEvent struct {
	errorResponse
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// entryAddressesFor returns the caller addresses for a client account. It caches a VM's answer for keep_seconds and
// falls back to EntryAddresses if no VM answers.
func (g *Generator) entryAddressesFor(ctx context.Context, account string) []string {
	g.mu.Lock()
	cached, ok := g.cachedEntries[account]
	g.mu.Unlock()
	if ok && time.Now().Before(cached.expiresAt) {
		return cached.Addresses
	}
	for _, address := range append(cached.Addresses, g.EntryAddresses...) {
		fresh, err := g.fetchEntry(ctx, address)
		if err != nil || len(fresh.Addresses) == 0 {
			continue
		}
		g.mu.Lock()
		if g.cachedEntries == nil {
			g.cachedEntries = make(map[string]entryResponse)
		}
		g.cachedEntries[account] = fresh
		g.mu.Unlock()
		return fresh.Addresses
	}
	return g.EntryAddresses
}

// fetchEntry requests the caller addresses from the VM at the given address.
func (g *Generator) fetchEntry(ctx context.Context, address string) (entryResponse, error) {
	var response entryResponse
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entry", nil)
	if err != nil {
		return response, err
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return response, err
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&response)
	response.expiresAt = time.Now().Add(time.Duration(response.KeepSeconds * float64(time.Second)))
	return response, err
}

// sendToVM sends a request to the preferred VM and, on a transport error, to the next ones. A generation is only sent
// again if no connection was established, as it may have reached the VM otherwise.
func (g *Generator) sendToVM(ctx context.Context, a arrival, method, path, body string, header map[string]string) (*http.Response, error) {
	var lastErr error
	addresses := g.entryAddressesFor(ctx, a.account)
	for attempt := range min(maxAttempts, len(addresses)) {
		req, err := http.NewRequestWithContext(ctx, method, "http://"+addresses[attempt]+path, strings.NewReader(body))
		if err != nil {
			return nil, err
		}
		req.Header.Set("Authorization", "Bearer "+g.APIKeys[a.account])
		req.Header.Set("Content-Type", "application/json")
		for name, value := range header {
			req.Header.Set(name, value)
		}
		resp, err := g.client.Do(req)
		if err == nil {
			return resp, nil
		}
		lastErr = err
		var opErr *net.OpError
		mayHaveArrived := !errors.As(err, &opErr) || opErr.Op != "dial"
		if ctx.Err() != nil || mayHaveArrived && a.kind == "generation" {
			break
		}
	}
	return nil, errors.Wrap(lastErr, "send a request to a VM")
}

// sendGeneration requests one generation, reads the streamed answer and checks that it is complete and belongs to the
// request.
func (g *Generator) sendGeneration(ctx context.Context, a arrival, out *outcome.Outcome) {
	prompt := g.prompt(a)
	sum := sha256.Sum256([]byte(prompt))
	out.RecordKey = hex.EncodeToString(sum[:])
	out.CostTokens = int64(len(prompt)+bytesPerToken-1)/bytesPerToken + g.Scenario.MaxOutputTokens
	body := fmt.Sprintf(`{"model":"profile_%d","prompt":%q,"max_tokens":%d,"stream":true}`,
		a.adapter, prompt, g.Scenario.MaxOutputTokens)
	resp, err := g.sendToVM(ctx, a, http.MethodPost, "/v1/completions", body, nil)
	if err != nil {
		out.ErrorCode = codeTransport
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		recordRefusal(resp, out)
		return
	}
	wantPrefix := fmt.Sprintf("adapter_%d@1/%s/", a.adapter, out.RecordKey[:8])
	readStream(resp.Body, wantPrefix, out)
}

// readStream reads a stream of server-sent events, in which the stand-ins' word i is wantPrefix followed by i.
func readStream(body io.Reader, wantPrefix string, out *outcome.Outcome) {
	out.Truncated = true
	last := time.Now()
	tokens := 0
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			out.Truncated = false
			out.Complete = tokens > 0 && !out.Wrong
			return
		}
		var e streamEvent
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			out.Wrong = true
			return
		}
		if e.Error.Code != "" {
			out.ErrorCode, out.Run = e.Error.Code, e.Error.Run
			return
		}
		for _, choice := range e.Choices {
			for _, word := range strings.Fields(choice.Text) {
				out.Wrong = out.Wrong || word != fmt.Sprint(wantPrefix, tokens)
				tokens++
			}
		}
		now := time.Now()
		if out.TimeToFirstToken == 0 {
			out.TimeToFirstToken = now.Sub(out.Intended)
		} else {
			out.InterTokenTimes = append(out.InterTokenTimes, now.Sub(last))
		}
		last = now
	}
}

// sendPayment obtains an idempotency key and sends one payment with it. On a transport error the payment is sent to
// another VM with the same key.
func (g *Generator) sendPayment(ctx context.Context, a arrival, out *outcome.Outcome) {
	out.CostTokens = serviceCallTokens
	body := fmt.Sprintf(`{"payment":%d,"client_account":%q}`, a.requestNumber, a.account)
	sum := sha256.Sum256([]byte(body))
	out.RecordKey = hex.EncodeToString(sum[:])
	resp, err := g.sendToVM(ctx, a, http.MethodPost, "/v1/idempotency_keys", "", nil)
	if err != nil {
		out.ErrorCode, out.Run = codeTransport, "not_run"
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusCreated {
		recordRefusal(resp, out)
		return
	}
	var issued struct {
		Key string `json:"idempotency_key"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&issued); err != nil {
		out.ErrorCode = codeTransport
		return
	}
	header := map[string]string{"Idempotency-Key": issued.Key}
	g.callService(ctx, a, http.MethodPost, "/payments", body, header, out)
}

func (g *Generator) sendStatusCheck(ctx context.Context, a arrival, out *outcome.Outcome) {
	out.CostTokens = serviceCallTokens
	path := fmt.Sprintf("/status/%d", a.requestNumber)
	out.RecordKey = path
	g.callService(ctx, a, http.MethodGet, path, "", nil, out)
}

func (g *Generator) callService(
	ctx context.Context, a arrival, method, path, body string, header map[string]string, out *outcome.Outcome,
) {
	resp, err := g.sendToVM(ctx, a, method, "/v1/services/booking"+path, body, header)
	if err != nil {
		out.ErrorCode = codeTransport
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		recordRefusal(resp, out)
		return
	}
	answer, err := io.ReadAll(resp.Body)
	out.Truncated = err != nil
	out.Wrong = err == nil && !strings.Contains(string(answer), fmt.Sprintf("%q", out.RecordKey))
	out.Complete = !out.Truncated && !out.Wrong
}

// recordRefusal copies the code and run fields of an error response to out; the code is http_<status> if the response
// has none.
func recordRefusal(resp *http.Response, out *outcome.Outcome) {
	var f errorResponse
	if err := json.NewDecoder(resp.Body).Decode(&f); err != nil || f.Error.Code == "" {
		f.Error.Code = fmt.Sprint("http_", resp.StatusCode)
	}
	out.ErrorCode, out.Run = f.Error.Code, f.Error.Run
}

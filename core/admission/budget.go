package admission

// retryReserve is the number of retries that are possible without any request
// before them, so that a service with little traffic can retry at all.
const retryReserve = 10

// budget is a bucket of retries that fills with requests.
type budget struct {
	share  float64
	tokens float64
}

func newBudget(share float64) budget {
	return budget{share: share, tokens: retryReserve}
}

func (b *budget) request() {
	b.tokens = min(b.tokens+b.share, retryReserve)
}

func (b *budget) retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

package discovery

import (
	"encoding/json"
	"fmt"

	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/object"
)

// QuotaBurstsKey is the key under which the accounts are stored that use their quotas in bursts.
const QuotaBurstsKey = "redwinglock/quota-bursts"

// applyQuotaBursts puts the stored accounts on the board.
func (d *Controller) applyQuotaBursts(i store.Item) {
	if i.Deleted {
		d.cache.remove(i.Key, i.Position)
		d.board.SetBurstRecord(board.BurstRecord{})
		return
	}
	d.cache.put(i)
	excess, err := DecodeQuotaBursts(i.Data)
	if err != nil {
		d.log.WithError(err).WithField("key", i.Key).Error("Record of quota bursts ignored.")
	}
	d.board.SetBurstRecord(board.BurstRecord{Position: i.Position, Excess: excess})
}

// DecodeQuotaBursts returns by how much accounts exceed an even usage of their quotas, as fractions of their limits.
func DecodeQuotaBursts(data []byte) (map[object.AccountName]float64, error) {
	var excess map[object.AccountName]float64
	if err := json.Unmarshal(data, &excess); err != nil {
		return nil, fmt.Errorf("decode quota bursts: %w", err)
	}
	for account, e := range excess {
		if e < 0 || e > 1 {
			return nil, fmt.Errorf("decode quota bursts: %s: %v is not between 0 and 1", account, e)
		}
	}
	return excess, nil
}

package logic

import "fmt"

// validateConfig returns an error that names the first invalid field.
func validateConfig(cfg *Config, actions Actions) error {
	switch {
	case actions == nil:
		return fmt.Errorf("logic: actions is nil")
	case len(cfg.Classes) == 0:
		return fmt.Errorf("logic: Config.Classes is empty")
	case cfg.Tick <= 0:
		return fmt.Errorf("logic: Config.Tick is %v, must be above zero", cfg.Tick)
	case cfg.ColdCapacity < 0 || cfg.ColdCapacity > 1:
		return fmt.Errorf("logic: Config.ColdCapacity is %v, must be within 0 and 1", cfg.ColdCapacity)
	}
	for i, c := range cfg.Classes {
		switch {
		case c.TargetLatency <= 0 || c.ClientTimeout <= 0:
			return fmt.Errorf("logic: Config.Classes[%d] (%s): TargetLatency and ClientTimeout must be above zero",
				i, c.Name)
		case c.RequiredFreshness > FreshnessWrite || c.Effect > EffectNonIdempotent:
			return fmt.Errorf("logic: Config.Classes[%d] (%s): unknown RequiredFreshness or Effect", i, c.Name)
		case c.RequiredFreshness == FreshnessBounded && c.MaxAge <= 0:
			return fmt.Errorf("logic: Config.Classes[%d] (%s): a bounded read needs MaxAge", i, c.Name)
		case c.Effect == EffectDeduplicated && c.DedupWindow <= 0:
			return fmt.Errorf("logic: Config.Classes[%d] (%s): a deduplicated class needs DedupWindow", i, c.Name)
		}
	}
	return nil
}

package place

import "turmericroute/quota"

// quota returns the amount in the units of quotas.
func (a amount) quota() quota.Amounts {
	return quota.Amounts{CPUMilli: 1000 * a.cores, MemoryMB: a.mem, GPUs: a.gpus}
}

// total returns what all tasks of the gang use.
func (j *job) total() amount { return j.perTask.times(j.spec.Shape.Tasks) }

// inUse returns what counts for the team's quota: its placed gangs, and the claims of jobs that are to start.
func (t *team) inUse() amount { return t.used.plus(t.claimed) }

// exceedsQuota reports whether the team uses more than its quota, as it does after the quota has been lowered.
func (t *team) exceedsQuota() bool { return t.cfg.Quota().Exceeded(t.inUse().quota()) }

// quotaShortage returns what is short for a job under its team's quota, and false if nothing is. Resources that the job
// does not use are left out: a quota of accelerators holds up no work without them.
func (j *job) quotaShortage() (quota.Shortage, bool) {
	limit, need := j.team.cfg.Quota(), j.total()
	if need.gpus == 0 {
		limit.GPUs = 0
	}
	if need.cores == 0 {
		limit.CPUMilli = 0
	}
	if need.mem == 0 {
		limit.MemoryMB = 0
	}
	return limit.Shortage(j.team.inUse().quota(), need.quota())
}

// usesLimited reports whether the job uses any resource of which its team has a quota.
func (j *job) usesLimited() bool {
	limit, need := j.team.cfg.Quota(), j.perTask
	return limit.GPUs > 0 && need.gpus > 0 || limit.CPUMilli > 0 && need.cores > 0 || limit.MemoryMB > 0 && need.mem > 0
}

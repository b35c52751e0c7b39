package rowanplank.lab.trial;

import java.util.Locale;

/** What a trial can be about. */
public enum TrialKind {
    LEASES {
        @Override
        Subject subject(TrialPlan plan) {
            return new LeaseSubject(plan);
        }
    },
    BUDGETS {
        @Override
        Subject subject(TrialPlan plan) {
            return new BudgetSubject(plan);
        }
    },
    /** Among real processes only: their requests go to page servers on loopback. */
    PLACES {
        @Override
        Subject subject(TrialPlan plan) {
            return new PlaceSubject(plan);
        }
    },
    /** Machines taken out for work, while clients are served. */
    WORK {
        @Override
        Subject subject(TrialPlan plan) {
            return new WorkSubject(plan);
        }
    };

    /** A new one, of this plan's trial. */
    abstract Subject subject(TrialPlan plan);

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT);
    }
}

package rowanplank.lab.trial;

import java.time.Duration;
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

        /** Parts of the dead are free after an election, a part's length and the longest try; then the nodes send again. */
        @Override
        public Duration quiet() {
            return Duration.ofSeconds(7);
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

    /** At the end nothing breaks for so long at the least: what has to go on by then goes on in that time. */
    public Duration quiet() {
        return Duration.ofSeconds(4);
    }

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT);
    }
}

package rowanplank.lab.trial;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import rowanplank.agreement.PersistentState;
import rowanplank.agreement.RaftNode;
import rowanplank.fleet.FleetComponents;
import rowanplank.ledger.Ask;
import rowanplank.ledger.BudgetDesk;
import rowanplank.ledger.BudgetHolder;
import rowanplank.ledger.Budgets;
import rowanplank.ledger.Command;
import rowanplank.ledger.Ledger;
import rowanplank.ledger.Result;
import rowanplank.ledger.Share;
import rowanplank.ledger.Work;

/** Known faults of budgets, as {@link Plants} has those of leases: in the ledger, at the leader's desk, at the holder. */
final class BudgetPlants {
    private BudgetPlants() { }

    /** Names, and what is wrong. */
    static Map<String, String> all() {
        Map<String, String> all = new TreeMap<>();
        all.put("shrunk-at-once", "a part is smaller as soon as it is to be, whatever its holder still uses");
        all.put("back-is-free", "what is being given back counts as free");
        all.put("lowered-at-once", "a whole that was lowered is in force at once");
        all.put("aside-forgotten", "what is set aside for every node is divided as well");
        all.put("rounded-up", "what is free is rounded up to whole uses");
        all.put("restart-frees", "a node that joins frees what its earlier process had");
        all.put("counts-wrong", "a voter that began from a snapshot counts one use too many as free");
        all.put("targets-forgotten", "a snapshot has what parts are, and not what they are to be");
        all.put("parts-lapse-early", "a leader takes parts back after half of their wait");
        all.put("use-forgotten", "a leader takes parts back at their end, and does not wait for the longest use");
        all.put("joiner-first", "a leader takes back early what a cut-off node has, where another one has joined since");
        all.put("parts-no-wait", "a new leader takes all parts back at once");
        all.put("parts-unconfirmed", "a leader renews parts without asking whether it still leads, and leads on without a majority");
        all.put("parts-never-lapse", "a leader never takes back what the dead had");
        all.put("part-from-answer", "a holder counts its parts' end from the answer, not from the asking");
        all.put("part-outlives", "a holder uses its parts for half of their length after their end");
        all.put("fixed-at-once", "a new process uses the fixed part at once");
        all.put("given-while-used", "a holder gives back what it still uses");
        all.put("never-gives", "a holder does not give back what another one is to have");
        all.put("late-word-counts", "what a holder is told late counts, though it knows of later changes");
        all.put("burst-for-each", "each node has the whole burst");
        all.put("bucket-full", "a bucket is full as soon as it is larger");
        all.put("half-is-a-use", "half a token is enough for a use");
        all.put("epoch-before", "every other use is begun under the epoch before the present one");
        return all;
    }

    /** @throws IllegalArgumentException if there is no fault of that name */
    static FleetComponents parts(String name) {
        return switch (name) {
            case "shrunk-at-once", "back-is-free", "lowered-at-once", "aside-forgotten", "rounded-up" ->
                    ledger(() -> new WrongBudgets(name));
            case "restart-frees" -> new FleetComponents() {
                @Override
                public Ledger ledger(Ledger.Picture picture) {
                    Restarts budgets = new Restarts();
                    budgets.ledger = new Ledger(picture, budgets, new Work());
                    return budgets.ledger;
                }
            };
            case "counts-wrong" -> new FleetComponents() {
                @Override
                public Ledger ledger(Ledger.Picture picture) {
                    return picture.budgets().parts().isEmpty() ? super.ledger(picture)
                            : new Ledger(picture, new WrongBudgets(name), new Work());
                }
            };
            case "targets-forgotten" -> ledger(() -> new Budgets() {
                @Override
                public Picture picture() {
                    Picture p = super.picture();
                    return new Picture(p.changes(), p.wholes(), p.members(), p.parts().stream()
                            .map(t -> new Part(t.budget(), t.session(), t.amount(), t.amount(), t.change())).toList());
                }
            });
            case "parts-lapse-early" -> waits((ledger, m) -> m.length().plus(m.lasting()).dividedBy(2));
            case "use-forgotten" -> waits((ledger, m) -> m.length());
            case "joiner-first" -> waits((ledger, m) -> ledger.budgets().members().stream()
                    .anyMatch(o -> o.epoch() > m.epoch()) ? m.length().dividedBy(2) : null);
            case "parts-never-lapse" -> waits((ledger, m) -> Duration.ofHours(1));
            case "parts-no-wait", "parts-unconfirmed" -> new FleetComponents() {
                @Override
                public RaftNode raftNode(RaftNode.Settings settings, PersistentState saved, Instant now, RaftNode.Actions actions) {
                    return name.equals("parts-no-wait") ? super.raftNode(settings, saved, now, actions)
                            : Plants.parts("unconfirmed-renewal").raftNode(settings, saved, now, actions);
                }

                @Override
                public BudgetDesk budgetDesk(double drift, Ledger ledger, BudgetDesk.Actions actions) {
                    return new WrongDesk(name, drift, ledger, actions);
                }
            };
            case "fixed-at-once" -> new FleetComponents() {
                @Override
                public BudgetHolder budgetHolder(BudgetHolder.Settings settings, Instant now, BudgetHolder.Actions actions) {
                    return new BudgetHolder(settings, now, actions) {
                        @Override
                        protected Duration fixedAfter() {
                            return Duration.ZERO;
                        }
                    };
                }
            };
            default -> {
                if (!all().containsKey(name)) {
                    throw new IllegalArgumentException("no fault of that name: " + name);
                }
                yield new FleetComponents() {
                    @Override
                    public BudgetHolder budgetHolder(BudgetHolder.Settings settings, Instant now,
                            BudgetHolder.Actions actions) {
                        return new WrongHolder(name, settings, now, actions);
                    }
                };
            }
        };
    }

    private static FleetComponents ledger(Supplier<Budgets> budgets) {
        return new FleetComponents() {
            @Override
            public Ledger ledger(Ledger.Picture picture) {
                return new Ledger(picture, budgets.get(), new Work());
            }
        };
    }

    /** @param wait null where it is the right one */
    private static FleetComponents waits(BiFunction<Ledger, Budgets.Member, Duration> wait) {
        return new FleetComponents() {
            @Override
            public BudgetDesk budgetDesk(double drift, Ledger ledger, BudgetDesk.Actions actions) {
                return new BudgetDesk(drift, ledger, actions) {
                    @Override
                    protected Duration wait(Budgets.Member m) {
                        Duration wrong = wait.apply(ledger, m);
                        return wrong == null ? super.wait(m) : wrong;
                    }
                };
            }
        };
    }

    /** Budgets with the fault of that name. */
    private static final class WrongBudgets extends Budgets {
        private final String fault;

        WrongBudgets(String fault) {
            this.fault = fault;
        }

        @Override
        protected Share kept(Share amount, Share target) {
            return fault.equals("shrunk-at-once") ? amount.least(target) : amount;
        }

        @Override
        protected Share out(Part p) {
            return fault.equals("back-is-free") ? p.amount().least(p.target()) : p.amount();
        }

        @Override
        protected Share inForce(Whole w, Share out) {
            return fault.equals("lowered-at-once") ? w.asked() : super.inForce(w, out);
        }

        @Override
        protected Share free(Share inForce, Share out) {
            Share free = super.free(inForce, out);
            boolean up = fault.equals("rounded-up") && free.burst() > 0; // of a count there is nothing to round
            return up ? new Share(up(free.amount()), up(free.burst())) : free;
        }

        private static long up(long amount) {
            return (amount + Share.USE - 1) / Share.USE * Share.USE;
        }

        @Override
        protected Result define(long index, Command.Define c) {
            return super.define(index, !fault.equals("aside-forgotten") ? c
                    : new Command.Define(c.name(), c.rate(), c.whole(), Share.NONE, 0));
        }

        @Override
        public Figures figures(Whole w) {
            Figures f = super.figures(w);
            return !fault.equals("counts-wrong") ? f : new Figures(f.whole(), f.free().plus(new Share(w.rate() ? Share.USE : 1, 0)),
                    f.promised(), f.givingBack(), f.setAside());
        }
    }

    /** Takes a node's earlier process for gone, with all that it began, once a new one of its name joins. */
    private static final class Restarts extends Budgets {
        private Ledger ledger;

        @Override
        protected Result join(long index, Command.Join c) {
            String node = ledger.session(c.session()).node();
            for (Member m : List.copyOf(members())) {
                if (m.session() != c.session() && ledger.session(m.session()) != null
                        && ledger.session(m.session()).node().equals(node)) {
                    leave(m.session());
                }
            }
            return super.join(index, c);
        }
    }

    /** A leader's desk with the fault of that name. */
    private static final class WrongDesk extends BudgetDesk {
        private final String fault;

        WrongDesk(String fault, double drift, Ledger ledger, Actions actions) {
            super(drift, ledger, actions);
            this.fault = fault;
        }

        @Override
        protected Instant since() {
            return fault.equals("parts-no-wait") ? Instant.EPOCH : super.since();
        }

        @Override
        protected void renew(Ask ask) {
            if (fault.equals("parts-unconfirmed")) {
                answerRenewal(ask);
            } else {
                super.renew(ask);
            }
        }
    }

    /** A holder with the fault of that name. */
    private static final class WrongHolder extends BudgetHolder {
        private final String fault;
        private final Duration length;
        private Map<String, Command.Define> all = new TreeMap<>();
        private long present;
        private long before;
        private boolean other;

        WrongHolder(String fault, Settings settings, Instant now, Actions actions) {
            super(settings, now, actions);
            this.fault = fault;
            length = settings.length();
        }

        @Override
        protected Instant endOf(Instant asked, Instant answered, Instant end) {
            return switch (fault) {
                case "part-from-answer" -> answered.plus(length);
                case "part-outlives" -> super.endOf(asked.plus(length.dividedBy(2)), answered, end);
                default -> super.endOf(asked, answered, end);
            };
        }

        @Override
        protected boolean fits(long open, long left) {
            return fault.equals("given-while-used") || !fault.equals("never-gives") && super.fits(open, left);
        }

        @Override
        protected boolean isNews(Ask.Told told, long known) {
            return fault.equals("late-word-counts") || super.isNews(told, known);
        }

        @Override
        public void budgets(Instant now, Map<String, Command.Define> budgets, Duration longestUse) {
            all = new TreeMap<>(budgets);
            super.budgets(now, budgets, longestUse);
        }

        @Override
        protected long burst(String budget, long own) {
            return fault.equals("burst-for-each") && own > 0 && all.containsKey(budget) ? all.get(budget).whole().burst() : own;
        }

        @Override
        protected double grown(double tokens, long burst) {
            return fault.equals("bucket-full") ? burst : super.grown(tokens, burst);
        }

        @Override
        protected boolean isUse(double tokens) {
            return fault.equals("half-is-a-use") ? 2 * tokens >= Share.USE : super.isUse(tokens);
        }

        @Override
        public long begin(Instant now, String budget) {
            long epoch = super.begin(now, budget);
            if (!fault.equals("epoch-before") || epoch <= 0) {
                return epoch;
            }
            if (epoch != present) {
                before = present == 0 ? epoch : present;
                present = epoch;
            }
            other = !other;
            return other ? present : before;
        }
    }
}

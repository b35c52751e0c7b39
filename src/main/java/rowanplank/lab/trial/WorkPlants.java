package rowanplank.lab.trial;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import rowanplank.fleet.FleetComponents;
import rowanplank.ledger.Ask;
import rowanplank.ledger.Budgets;
import rowanplank.ledger.Command;
import rowanplank.ledger.Ledger;
import rowanplank.ledger.Result;
import rowanplank.ledger.Work;
import rowanplank.ledger.WorkDesk;
import rowanplank.ledger.WorkHolder;

/** Known faults of the order of work: the judge of {@link TrialKind#WORK} has to find them. */
final class WorkPlants {
    private WorkPlants() { }

    static Map<String, String> all() {
        Map<String, String> all = new TreeMap<>();
        all.put("work-bound-unheld", "neither the ledger nor the leader looks how many machines are out");
        all.put("work-order-reversed", "a turn is given to the last of those that wait");
        all.put("work-stale-turn", "a node drains however old the word of its turn is");
        all.put("work-out-while-open", "a node says that it is out while requests are open");
        all.put("work-serves-unasked", "a new process takes clients before it has asked whether its machine is out");
        all.put("work-any-step", "the ledger takes a node's word whatever the state and the fence of its line");
        all.put("work-word-twice", "what staff say twice under one number is done twice");
        all.put("work-voter-too-many", "a turn is given though no majority of the voters would be left");
        all.put("work-skip-at-once", "a turn that staff skip is struck out at once, and its nodes are told of it still");
        all.put("work-unconfirmed", "a leader tells a node of its line without asking whether it still leads");
        all.put("work-dead-uncounted", "the dead do not count as out");
        return all;
    }

    /** Null where there is no fault of that name. */
    static FleetComponents parts(String name) {
        return switch (name) {
            case "work-bound-unheld" -> unheld();
            case "work-order-reversed" -> ledger(Reversed::new);
            case "work-any-step" -> ledger(AnyStep::new);
            case "work-word-twice" -> ledger(Twice::new);
            case "work-stale-turn", "work-out-while-open", "work-serves-unasked" -> holder(name);
            case "work-voter-too-many", "work-skip-at-once", "work-unconfirmed", "work-dead-uncounted" -> desk(name);
            default -> null;
        };
    }

    private static FleetComponents ledger(Supplier<Work> work) {
        return new FleetComponents() {
            @Override
            public Ledger ledger(Ledger.Picture picture) {
                return new Ledger(picture, new Budgets(), work.get());
            }
        };
    }

    private static FleetComponents unheld() {
        return new FleetComponents() {
            @Override
            public Ledger ledger(Ledger.Picture picture) {
                return new Ledger(picture, new Budgets(), new Work() {
                    @Override
                    protected boolean isFull(String hall) {
                        return false;
                    }
                });
            }

            @Override
            public WorkDesk workDesk(WorkDesk.Settings s, Ledger ledger, WorkDesk.Actions actions) {
                return new WorkDesk(s, ledger, actions) {
                    @Override
                    public String halted(Instant now) {
                        return null;
                    }

                    @Override
                    public String againstIt(Instant now, String machine) {
                        return null;
                    }
                };
            }
        };
    }

    private static final class Reversed extends Work {
        @Override
        public List<String> plan() {
            List<String> plan = new ArrayList<>(super.plan());
            Collections.reverse(plan);
            return plan;
        }
    }

    private static final class AnyStep extends Work {
        @Override
        protected boolean isMeant(Line l, Command.Step c) {
            return l.isAway();
        }
    }

    private static final class Twice extends Work {
        @Override
        protected Result answerOf(long id) {
            return null;
        }
    }

    private static FleetComponents holder(String name) {
        return new FleetComponents() {
            @Override
            public WorkHolder workHolder(WorkHolder.Settings settings, Instant now, WorkHolder.Actions actions) {
                return new WorkHolder(settings, now, name.equals("work-serves-unasked") ? new Hasty(actions) : actions) {
                    @Override
                    protected boolean isValid(Instant at, Instant from) {
                        return name.equals("work-stale-turn") || super.isValid(at, from);
                    }

                    @Override
                    protected boolean isEmpty() {
                        return name.equals("work-out-while-open") || super.isEmpty();
                    }
                };
            }
        };
    }

    /** Does not drain as its process begins. */
    private static final class Hasty implements WorkHolder.Actions {
        private final WorkHolder.Actions actions;
        private boolean begun;

        Hasty(WorkHolder.Actions actions) {
            this.actions = actions;
        }

        @Override
        public void ask(String voter, Ask ask) {
            actions.ask(voter, ask);
        }

        @Override
        public void drain() {
            if (begun) {
                actions.drain();
            }
            begun = true;
        }

        @Override
        public void rejoin() {
            actions.rejoin();
        }

        @Override
        public boolean isEmpty() {
            return actions.isEmpty();
        }

        @Override
        public boolean isReady() {
            return actions.isReady();
        }

        @Override
        public Ask.Service service() {
            return actions.service();
        }
    }

    private static FleetComponents desk(String name) {
        return new FleetComponents() {
            @Override
            public WorkDesk workDesk(WorkDesk.Settings settings, Ledger ledger, WorkDesk.Actions actions) {
                return new WrongDesk(name, settings, ledger, actions);
            }
        };
    }

    private static final class WrongDesk extends WorkDesk {
        private final String fault;
        private final Ledger ledger;
        private final Actions actions;

        WrongDesk(String fault, Settings settings, Ledger ledger, Actions actions) {
            super(settings, ledger, fault.equals("work-voter-too-many") ? new AnyMajority(actions) : actions);
            this.fault = fault;
            this.ledger = ledger;
            this.actions = actions;
        }

        @Override
        public void onAsk(Instant now, Ask ask) {
            Work.Place place = ledger.work().place(ask.node());
            if (fault.equals("work-unconfirmed") && ask.what() instanceof Ask.Poll && place != null) {
                actions.answer(ask, new Ask.Answer(ask.incarnation(), ask.number(), Result.of(Result.Kind.SET),
                        ledger.work().line(place.machine())));
            } else {
                super.onAsk(now, ask);
            }
        }

        @Override
        protected Duration wait(Duration other) {
            return fault.equals("work-skip-at-once") ? Duration.ZERO : super.wait(other);
        }

        @Override
        protected boolean isMissing(String node) {
            return !fault.equals("work-dead-uncounted") && super.isMissing(node);
        }

        @Override
        protected boolean isDead(String node) {
            return !fault.equals("work-dead-uncounted") && super.isDead(node);
        }
    }

    private record AnyMajority(WorkDesk.Actions actions) implements WorkDesk.Actions {
        @Override
        public boolean isKnown(Command command) {
            return actions.isKnown(command);
        }

        @Override
        public long propose(Command command) {
            return actions.propose(command);
        }

        @Override
        public long confirm() {
            return actions.confirm();
        }

        @Override
        public void answer(Ask ask, Ask.Answer answer) {
            actions.answer(ask, answer);
        }

        @Override
        public boolean serves(String node) {
            return actions.serves(node);
        }

        @Override
        public String text() {
            return actions.text();
        }

        @Override
        public boolean lives(String node) {
            return actions.lives(node);
        }

        @Override
        public Instant wall() {
            return actions.wall();
        }

        @Override
        public boolean hasMajorityWithout(Set<String> nodes) {
            return true;
        }
    }
}

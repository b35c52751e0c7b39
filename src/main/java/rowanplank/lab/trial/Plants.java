package rowanplank.lab.trial;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;
import rowanplank.agreement.Message;
import rowanplank.agreement.PersistentState;
import rowanplank.agreement.RaftNode;
import rowanplank.fleet.FleetComponents;
import rowanplank.ledger.Ask;
import rowanplank.ledger.Desk;
import rowanplank.ledger.LeaseHolder;
import rowanplank.ledger.Ledger;
import rowanplank.ledger.Result;
import rowanplank.membership.MemberUpdate;
import rowanplank.membership.Membership;
import rowanplank.net.Loop;
import rowanplank.net.StateFile;

/** Known faults, each a part of a node that does one thing wrong: the checkers have to find them. */
public final class Plants {
    private static final Duration LATE = Duration.ofMillis(50);

    private Plants() { }

    /** Names, and what is wrong. */
    public static Map<String, String> all() {
        Map<String, String> all = new TreeMap<>();
        all.put("counted-from-answer", "a holder counts its lease from the answer, not from the asking");
        all.put("no-wait", "a new leader takes all leases for over at once");
        all.put("fence-repeats", "every grant has the same fence");
        all.put("vote-forgotten", "a voter that starts again has forgotten its term and its vote");
        all.put("any-log-will-do", "a vote is given to whoever asks, whatever its log");
        all.put("older-terms-count", "entries of earlier terms are decided by counting");
        all.put("unconfirmed-renewal", "a leader goes on, and renews, without hearing a majority");
        all.put("no-fence-wait", "a leader waits for half of a lease only");
        all.put("stale-read", "a leader answers who holds a lease without asking whether it still leads");
        all.put("done-twice", "a request that comes twice is done twice");
        all.put("told-before-synced", "a voter tells of what is not on its disk yet");
        all.put("checked-before", "a task begins while its lease lasts, and not only where it ends in time");
        all.put("half-is-enough", "a voter with the votes of half is the leader");
        all.put("no-log-check", "a voter takes entries without a look at those before them");
        all.put("claims-forgotten", "the run of a period is claimed by whoever asks");
        all.put("never-refutes", "a node that is thought dead says nothing to it");
        all.putAll(BudgetPlants.all());
        all.putAll(WorkPlants.all());
        return all;
    }

    /** @throws IllegalArgumentException if there is no fault of that name */
    public static FleetComponents parts(String name) {
        return switch (name) {
            case "counted-from-answer" -> new FleetComponents() {
                @Override
                public LeaseHolder leaseHolder(LeaseHolder.Settings settings, Instant now, LeaseHolder.Actions actions) {
                    return new LeaseHolder(settings, now, actions) {
                        @Override
                        protected Instant endOf(Instant asked, Instant answered, Duration length, Instant before) {
                            return answered.plus(length);
                        }
                    };
                }
            };
            case "no-wait" -> desk(new DeskFault() {
                @Override
                public Instant since(Instant since) {
                    return Instant.EPOCH;
                }
            });
            case "no-fence-wait" -> desk(new DeskFault() {
                @Override
                public Duration wait(Duration wait) {
                    return wait.dividedBy(2);
                }
            });
            case "fence-repeats" -> new FleetComponents() {
                @Override
                public Ledger ledger(Ledger.Picture picture) {
                    return new Ledger(picture) {
                        @Override
                        protected long fence(long index) {
                            return 7;
                        }
                    };
                }
            };
            case "vote-forgotten" -> new FleetComponents() {
                @Override
                public RaftNode raftNode(RaftNode.Settings settings, PersistentState saved, Instant now,
                        RaftNode.Actions actions) {
                    return new RaftNode(settings, new PersistentState(0, null, saved.snapshot(), saved.entries()), now, actions);
                }
            };
            case "any-log-will-do", "older-terms-count", "unconfirmed-renewal", "half-is-enough", "no-log-check" ->
                    new FleetComponents() {
                        @Override
                        public RaftNode raftNode(RaftNode.Settings settings, PersistentState saved, Instant now,
                                RaftNode.Actions actions) {
                            return new WrongAgreement(name, settings, saved, now, actions);
                        }
                    };
            case "stale-read" -> new FleetComponents() {
                @Override
                public Desk desk(Desk.Settings settings, Ledger ledger, Desk.Actions actions) {
                    return new Desk(settings, ledger, actions) {
                        @Override
                        protected void read(Ask ask, Ask.Read what) {
                            answerRead(ask, what);
                        }
                    };
                }
            };
            case "done-twice" -> new FleetComponents() {
                @Override
                public Ledger ledger(Ledger.Picture picture) {
                    return new Ledger(picture) {
                        @Override
                        protected Result once(long session, long floor, long number, Doing doing) {
                            return session(session) == null ? Result.of(Result.Kind.NO_SESSION) : doing.result();
                        }
                    };
                }
            };
            case "claims-forgotten" -> new FleetComponents() {
                @Override
                public Ledger ledger(Ledger.Picture picture) {
                    return new Ledger(picture) {
                        @Override
                        protected boolean isDone(Run last, long period) {
                            return false;
                        }
                    };
                }
            };
            case "never-refutes" -> new FleetComponents() {
                @Override
                public Membership membership(Membership.Settings settings, Instant now, Membership.Actions actions) {
                    return new Membership(settings, now, actions) {
                        @Override
                        protected void applyUpdateAboutSelf(MemberUpdate n) { }
                    };
                }
            };
            case "told-before-synced" -> new FleetComponents() {
                @Override
                public StateFile.Files files(StateFile.Files machine) {
                    return new Hasty(machine);
                }
            };
            case "checked-before" -> new FleetComponents() {
                @Override
                public boolean mayBegin(LeaseHolder holder, Instant now, String lease, Duration longest) {
                    return holder.mayAct(now, lease, Duration.ZERO);
                }
            };
            default -> WorkPlants.all().containsKey(name) ? WorkPlants.parts(name) : BudgetPlants.parts(name);
        };
    }

    /** An agreement with the fault of that name. */
    private static final class WrongAgreement extends RaftNode {
        private final String fault;

        WrongAgreement(String fault, Settings settings, PersistentState saved, Instant now, Actions actions) {
            super(settings, saved, now, actions);
            this.fault = fault;
        }

        @Override
        protected boolean isUpToDate(Message.VoteRequest m) {
            return fault.equals("any-log-will-do") || super.isUpToDate(m);
        }

        @Override
        protected boolean mayCommitByCounting(long index) {
            return fault.equals("older-terms-count") || super.mayCommitByCounting(index);
        }

        @Override
        protected int leaderQuorum(int voters) {
            return fault.equals("unconfirmed-renewal") ? 1 : super.leaderQuorum(voters);
        }

        @Override
        protected int majority(int voters) {
            return fault.equals("half-is-enough") ? super.majority(voters) - 1 : super.majority(voters);
        }

        @Override
        protected boolean isLogConsistent(Message.AppendRequest m, long previous) {
            return fault.equals("no-log-check") || super.isLogConsistent(m, previous);
        }
    }

    /** Says that something is synced before it is. */
    private record Hasty(StateFile.Files machine) implements StateFile.Files {
        @Override
        public void create(String directory, byte[] content) throws IOException {
            machine.create(directory, content);
        }

        @Override
        public StateFile open(String directory, Loop loop, StateFile.Failed failed) throws IOException {
            StateFile file = machine.open(directory, loop, failed);
            return new StateFile() {
                @Override
                public byte[] content() {
                    return file.content();
                }

                @Override
                public void cut(int length) throws IOException {
                    file.cut(length);
                }

                @Override
                public void append(byte[] bytes, Runnable synced) {
                    loop.execute(synced);
                    loop.schedule(LATE, () -> file.append(bytes, () -> { }));
                }

                @Override
                public void replace(byte[] bytes, Runnable synced) {
                    loop.execute(synced);
                    loop.schedule(LATE, () -> file.replace(bytes, () -> { }));
                }

                @Override
                public void close() {
                    file.close();
                }
            };
        }
    }

    private interface DeskFault {
        default Instant since(Instant since) {
            return since;
        }

        default Duration wait(Duration wait) {
            return wait;
        }
    }

    private static FleetComponents desk(DeskFault fault) {
        return new FleetComponents() {
            @Override
            public Desk desk(Desk.Settings settings, Ledger ledger, Desk.Actions actions) {
                return new Desk(settings, ledger, actions) {
                    @Override
                    protected Instant since() {
                        return fault.since(super.since());
                    }

                    @Override
                    protected Duration wait(Duration length) {
                        return fault.wait(super.wait(length));
                    }
                };
            }
        };
    }
}

package rowanplank.lab.policy;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;

/** Legal events in any order, for every policy; {@link Stage} checks what must hold after each. */
class PolicyRunTest {
    @Provide
    Arbitrary<ActionChain<Stage>> runs() {
        Action.Independent<Stage> anything = () -> Arbitraries.longs()
                .map(seed -> Transformer.mutate("event " + seed, stage -> stage.anything(seed)));
        return Arbitraries.of(Policies.all()).flatMap(p -> ActionChain.startWith(() -> {
            Stage stage = new Stage(p, 7);
            stage.list(rowanplank.balancer.BalancerApi.ListKind.FULL, Stage.servers(Stage.SERVERS));
            return stage;
        }).withAction(anything).withMaxTransformations(300));
    }

    @Property(seed = "5", tries = 320)
    void everyRequestEndsOnceAndNothingBreaksOrIsKept(@ForAll("runs") ActionChain<Stage> run) {
        run.run().end();
    }
}

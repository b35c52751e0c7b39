package rowanplank.lab.trial.judge;

import java.util.List;

/** Judges one history, once. */
public interface Judge {
    /** None if all rules were kept; only so many that they can be read. */
    List<Finding> judge();

    /** Acts that began late after a stall longer than the allowance, and would else have broken a rule. */
    int lateActs();
}

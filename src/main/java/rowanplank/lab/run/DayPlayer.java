package rowanplank.lab.run;

import rowanplank.lab.day.Day;

/** Plays days. Two plays of one day come to the same, but for the time they take. */
public interface DayPlayer {
    DayResult play(Day day);
}

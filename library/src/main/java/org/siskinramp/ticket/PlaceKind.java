package org.siskinramp.ticket;

/** Tells availability zones and hosts apart. */
public enum PlaceKind {
    /** An availability zone. */
    AVAILABILITY_ZONE("availability-zone"),
    /** A host. */
    HOST("host");

    private final String word;

    PlaceKind(String word) {
        this.word = word;
    }

    /**
     * Returns the word used in row keys and commands.
     *
     * @return the word
     */
    public String word() {
        return word;
    }
}

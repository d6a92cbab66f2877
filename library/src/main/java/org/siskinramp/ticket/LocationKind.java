package org.siskinramp.ticket;

/** The kinds of location that operators can take out of service. */
public enum LocationKind {
    /** An availability zone. */
    AVAILABILITY_ZONE("availability-zone"),
    /** A host. */
    HOST("host");

    private final String label;

    LocationKind(String label) {
        this.label = label;
    }

    /**
     * Returns the label used in row keys and error messages.
     *
     * @return the label in lower case with hyphens
     */
    public String label() {
        return label;
    }
}

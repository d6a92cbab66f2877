package org.siskinramp.standin.measurement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.siskinramp.result.ResultException;
import org.siskinramp.standin.caller.LoadKind;
import org.siskinramp.standin.http.Json;
import org.siskinramp.ticket.Ticket;

final class MeasurementRunTest {

    @Test
    void metricsAreSummedOverTheirLabels() {
        MetricsPage page =
                MetricsPage.of(
                        """
                        # HELP a_total Total.
                        a_total{peer="x"} 2.0
                        a_total{peer="y"} 3.5
                        a_total_more 100.0
                        b_bytes 1.5E3
                        """
                                .getBytes(StandardCharsets.UTF_8));
        assertEquals(5.5, page.value("a_total"));
        assertEquals(1500, page.value("b_bytes"));
        assertEquals(0, page.value("c"));
    }

    @Test
    void ticketOfADeploymentIsAcceptable() {
        List<String> addresses = Collections.nCopies(12, "127.0.0.1:9");
        for (String name : List.of("qazaq", "lombard")) {
            MeasuredTicket ticket = MeasuredTicket.of(Deployment.of(name), addresses);
            assertEquals(
                    1,
                    Ticket.parse(new String(Json.write(ticket), StandardCharsets.UTF_8)).number());
        }
    }

    @Test
    void mixIsSplitByTheServersOfEachService() {
        List<LoadKind> mix = Deployment.QAZAQ.mix(12);
        double dispatch =
                mix.stream()
                        .filter(kind -> kind.path().startsWith("/dispatch"))
                        .mapToDouble(LoadKind::share)
                        .sum();
        assertEquals(2.0 / 12, dispatch, 1e-9);
        assertEquals("dispatch", Deployment.QAZAQ.serviceOf(10, 12).name());
        assertEquals("schedule-consent", Deployment.QAZAQ.serviceOf(9, 12).name());
    }

    @Test
    void scenarioIsFoundByItsLabelOnly() {
        assertEquals(Scenario.ZONE_OUT_AND_BACK, Scenario.of("zone-out-and-back"));
        ResultException refusal =
                assertThrows(ResultException.class, () -> Scenario.of("STEADY_50"));
        assertTrue(refusal.getMessage().contains("steady-50"));
    }
}

import standin.Jobs;
import standin.Site;

import java.util.ArrayList;
import java.util.List;

/** Users cancel jobs while the state service answers slowly, and it goes down when it has carried out some of that. */
public final class Case2 {
    private static final int SERVICES = 15;

    public static void main(String[] args) {
        Site.play(args, Site.Shape.printBureau(), "ran_cancelled", Case2::run);
    }

    private static void run(Site site) throws Exception {
        site.machines("bench-box", "bole-hall", 6);
        site.machines("bench-box", "campus-annex", 6);
        site.machines("slicer-rack", "bole-hall", 2);
        site.machines("slicer-rack", "campus-annex", 2);
        site.start();
        Thread.sleep(2000);

        List<Jobs.Job> services = new ArrayList<>();
        for (int i = 0; i < SERVICES; i++) {
            Jobs.Job job = site.jobs.upload(String.format("wk-%06d", 201 + i), "print-floor", "quote-api", "standing", "high", 1, 1.0, 2.2, "img-quote", 2.0, null, 0, 0, 0);
            services.add(job);
            site.users.submit(job);
        }
        site.await("all services run", 30, () -> services.stream().allMatch(job -> site.jobs.running(job.id()) == 1));
        Thread.sleep(2000);

        if (site.trouble) {
            site.state.latencyMs = 90;
            site.record.say("trouble: the state service answers 15 times as slowly");
            Thread.sleep(5000);
        }
        int leader = site.controllers.leader(site.state);
        site.record.say(site.controllers.names[leader] + " leads; users call off " + SERVICES + " services within a fifth of a second");
        if (site.trouble) site.state.outageAfterCancellationFor(leader);
        for (Jobs.Job job : services) {
            Thread user = new Thread(() -> abort(site, job));
            user.setDaemon(true);
            user.start();
            Thread.sleep(200 / SERVICES);
        }
        if (site.trouble) site.await("the state service is down", 10, site.state::isDown);
        Thread.sleep(5000);
        site.record.say("told until now: " + services.stream().filter(job -> job.toldCancelledAt >= 0).count());
        Thread.sleep(45_000);
        if (site.trouble) {
            site.state.latencyMs = 6;
            site.state.setOutage(false);
            Thread.sleep(5000);
        }
        site.keepLog("cancelled,", "leading", "lease", "ERROR");
    }

    private static void abort(Site site, Jobs.Job job) {
        try {
            site.users.abort(job);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
